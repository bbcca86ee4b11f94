#include "Logging/Logger.h"

#include <array>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/expressions/formatters/c_decorator.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace burlreach {

/** Found by Boost.Log when it writes the attribute. */
std::ostream& operator<<(std::ostream& stream, Severity severity)
{
    constexpr std::array<const char*, 4> names{ "debug", "info", "warning", "error" };
    return stream << names.at(static_cast<std::size_t>(severity));
}

namespace {

namespace logging = boost::log;
namespace expressions = boost::log::expressions;

constexpr const char* TimeFormat = "%Y-%m-%dT%H:%M:%S.%f";

// The attributes of a line, by name.
const auto time = expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", TimeFormat);
const auto severity = expressions::attr<Severity>("Severity");
const auto prefix = expressions::attr<std::string>("Prefix");
const auto instance = expressions::attr<std::string>("Instance");

logging::formatter textFormatter()
{
    return expressions::stream << time << " " << severity << " " << instance << " " << prefix << ": "
                               << expressions::smessage;
}

logging::formatter jsonFormatter()
{
    return expressions::stream << "{\"time\":\"" << time << "\",\"severity\":\"" << severity << "\",\"instance\":\""
                               << instance << "\",\"part\":\"" << prefix << "\",\"message\":\""
                               << expressions::c_decor[expressions::stream << expressions::smessage] << "\"}";
}

}

void startLogging(const LoggingOptions& options)
{
    const auto core = logging::core::get();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    core->add_global_attribute("Instance", logging::attributes::constant<std::string>(options.instance));
    const auto sink = logging::add_console_log(std::clog, logging::keywords::auto_flush = true);
    sink->set_formatter(options.asJson ? jsonFormatter() : textFormatter());
    core->set_filter(severity >= options.lowest);
}

Logger::Logger(std::string_view givenPrefix)
    : prefix(givenPrefix)
{
}

void Logger::write(Severity level, std::string_view sentence) const
{
    thread_local logging::sources::severity_logger<Severity> source;
    BOOST_LOG_SEV(source, level) << logging::add_value("Prefix", this->prefix) << sentence;
}

void Logger::debug(std::string_view sentence) const
{
    this->write(Severity::Debug, sentence);
}

void Logger::info(std::string_view sentence) const
{
    this->write(Severity::Info, sentence);
}

void Logger::warning(std::string_view sentence) const
{
    this->write(Severity::Warning, sentence);
}

void Logger::error(std::string_view sentence) const
{
    this->write(Severity::Error, sentence);
}

}
