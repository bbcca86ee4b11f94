#include "Logging/Logger.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/formatting_ostream.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <utility>

namespace burlreach {

namespace {

namespace logging = boost::log;
namespace sinks = boost::log::sinks;

constexpr std::size_t QueuedLines = 2048;

std::atomic<std::uint64_t> droppedLines{ 0 };

/** Overflow strategy of the queue: drops the line and counts it. */
class CountingDrop {
public:
    template <typename Lock>
    static bool on_overflow(const logging::record_view&, Lock&) // NOLINT(readability-identifier-naming)
    {
        ++droppedLines;
        return false;
    }
    static void on_queue_space_available() { } // NOLINT(readability-identifier-naming)
    static void interrupt() { }
};

using Sink
    = sinks::asynchronous_sink<sinks::text_ostream_backend, sinks::bounded_fifo_queue<QueuedLines, CountingDrop>>;

boost::shared_ptr<Sink> theSink;

std::string_view nameOf(Severity severity)
{
    constexpr std::array<std::string_view, 4> names{ "debug", "info", "warning", "error" };
    return names.at(static_cast<std::size_t>(severity));
}

/** Formats a log record as one line. */
class LineFormatter {
public:
    LineFormatter(bool givenAsJson, std::string givenInstance)
        : asJson(givenAsJson)
        , instance(std::move(givenInstance))
    {
    }

    void operator()(const logging::record_view& record, logging::formatting_ostream& stream) const
    {
        const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
        const auto severity = logging::extract<Severity>("Severity", record);
        const auto prefix = logging::extract<std::string>("Prefix", record);
        const auto fields = logging::extract<std::string>("Fields", record);
        const auto message = logging::extract<std::string>("Message", record);
        const std::string timeText = time ? boost::posix_time::to_iso_extended_string(*time) : std::string();
        const std::string_view severityName = nameOf(severity ? *severity : Severity::Info);
        if (!this->asJson) {
            stream << timeText << ' ' << severityName << ' ' << this->instance << ' ' << prefix.get<std::string>()
                   << ": " << message.get<std::string>();
            if (fields && !fields->empty())
                stream << " {" << *fields << '}';
            return;
        }
        std::string line
            = "{\"time\":\"" + timeText + "\",\"severity\":\"" + std::string(severityName) + "\",\"instance\":";
        appendJsonText(line, this->instance);
        line += ",\"part\":";
        appendJsonText(line, prefix.get<std::string>());
        line += ",\"message\":";
        appendJsonText(line, message.get<std::string>());
        if (fields && !fields->empty())
            line += "," + *fields;
        stream << line << '}';
    }

private:
    bool asJson;
    std::string instance;
};

}

void appendJsonText(std::string& line, std::string_view text)
{
    constexpr std::string_view hexadecimal = "0123456789abcdef";
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char firstBeyondAscii = 0x7f;
    constexpr unsigned nibble = 4;
    constexpr unsigned char lowNibble = 0xf;
    line += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (byte >= firstPrintable && byte < firstBeyondAscii) {
            line += character;
        } else {
            line += "\\u00";
            line += hexadecimal[byte >> nibble];
            line += hexadecimal[byte & lowNibble];
        }
    }
    line += '"';
}

void startLogging(const LoggingOptions& options)
{
    const auto core = logging::core::get();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    const auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    theSink = boost::make_shared<Sink>(backend);
    theSink->set_formatter(LineFormatter(options.asJson, options.instance));
    core->add_sink(theSink);
    setLowestSeverity(options.lowest);
}

void setLowestSeverity(Severity lowest)
{
    logging::core::get()->set_filter(logging::expressions::attr<Severity>("Severity") >= lowest);
}

void stopLogging()
{
    if (!theSink)
        return;
    logging::core::get()->remove_sink(theSink);
    theSink->stop();
    theSink->flush();
    theSink.reset();
}

std::uint64_t droppedLogLines()
{
    return droppedLines;
}

Logger::Logger(std::string_view givenPrefix)
    : prefix(givenPrefix)
{
}

void Logger::write(Severity level, std::string_view sentence, std::string_view fields) const
{
    thread_local logging::sources::severity_logger<Severity> source;
    BOOST_LOG_SEV(source, level) << logging::add_value("Prefix", this->prefix)
                                 << logging::add_value("Fields", std::string(fields)) << sentence;
}

}
