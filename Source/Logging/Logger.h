#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burlreach {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error
};

/** How log lines look and which are written. */
struct LoggingOptions {
    bool asJson = false;
    Severity lowest = Severity::Info;
    std::string instance;
};

/**
 * Sets up the log of the whole process; call once, before any logger. Lines go
 * to standard output through a bounded queue and a thread of its own: a logger
 * never waits, and what the queue has no room for is left out and counted.
 */
void startLogging(const LoggingOptions& options);
void setLowestSeverity(Severity lowest);
/** Writes what is still queued; call at the end of the process. */
void stopLogging();
/** Lines that the queue had no room for, since the start. */
std::uint64_t droppedLogLines();

/** Writes short sentences, each with the fixed prefix of its part. */
class Logger {
public:
    explicit Logger(std::string_view prefix);

    void debug(std::string_view sentence) const { this->write(Severity::Debug, sentence, {}); }
    void info(std::string_view sentence) const { this->write(Severity::Info, sentence, {}); }
    void warning(std::string_view sentence) const { this->write(Severity::Warning, sentence, {}); }
    void error(std::string_view sentence) const { this->write(Severity::Error, sentence, {}); }
    /** The fields are the inside of a JSON object, such as "\"id\":\"x\",\"took\":3.1". */
    void write(Severity severity, std::string_view sentence, std::string_view fields) const;

private:
    std::string prefix;
};

/** Appends the text as a JSON string, with its quotes. */
void appendJsonText(std::string& line, std::string_view text);

}
