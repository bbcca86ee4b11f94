#pragma once

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

/** Sets up the log of the whole process; call once, before any logger. */
void startLogging(const LoggingOptions& options);

/** Writes short sentences, each with the fixed prefix of its part. */
class Logger {
public:
    explicit Logger(std::string_view prefix);

    void debug(std::string_view sentence) const;
    void info(std::string_view sentence) const;
    void warning(std::string_view sentence) const;
    void error(std::string_view sentence) const;

private:
    void write(Severity severity, std::string_view sentence) const;

    std::string prefix;
};

}
