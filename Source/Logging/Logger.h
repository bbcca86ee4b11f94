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

/** Format of the log lines and the lowest severity that is written. */
struct LoggingOptions {
    bool asJson = false;
    Severity lowest = Severity::Info;
    std::string instance;
};

/**
 * Sets up logging for the whole process. Call it once, before any logger is
 * used. A separate thread writes the lines from a bounded queue to standard
 * output, so that loggers never block; lines that do not fit into the queue are
 * dropped and counted.
 */
void startLogging(const LoggingOptions& options);
void setLowestSeverity(Severity lowest);
/** Writes the queued lines. Call it at the end of the process. */
void stopLogging();
/** Returns the number of lines dropped since the start because the queue was full. */
std::uint64_t droppedLogLines();

/** Writes log messages with the prefix of one component. */
class Logger {
public:
    explicit Logger(std::string_view prefix);

    void debug(std::string_view sentence) const { this->write(Severity::Debug, sentence, {}); }
    void info(std::string_view sentence) const { this->write(Severity::Info, sentence, {}); }
    void warning(std::string_view sentence) const { this->write(Severity::Warning, sentence, {}); }
    void error(std::string_view sentence) const { this->write(Severity::Error, sentence, {}); }
    /** The fields are the members of a JSON object without its braces, such as "\"id\":\"x\",\"took\":3.1". */
    void write(Severity severity, std::string_view sentence, std::string_view fields) const;

private:
    std::string prefix;
};

/** Appends the text as a quoted and escaped JSON string. */
void appendJsonText(std::string& line, std::string_view text);

}
