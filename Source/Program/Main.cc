#include "Logging/Logger.h"
#include "PlatformDialect.h"
#include "Program/AllocatorSettings.h"
#include "Program/ControlCommand.h"
#include "Program/Dialect.h"
#include "Program/EarlySignals.h"
#include "Program/ExitCode.h"
#include "Program/Instance.h"
#include "Settings/SettingsReader.h"

#include <CLI/CLI.hpp>
#include <array>
#include <csignal>
#include <google/protobuf/stubs/logging.h>
#include <iostream>

namespace {

using namespace burlreach;

/** The dialects built into this binary. */
constexpr std::array<DialectEntry, 2> Dialects{ {
    { .name = "own", .make = &makeOwnDialect },
    { .name = "platform", .make = &makePlatformDialect },
} };

/** Prints all findings. Returns true when there are none. */
bool reportFindings(const Findings& findings)
{
    std::cerr << findings.text();
    if (!findings.empty())
        std::cerr << findings.all().size() << " findings; nothing was started.\n";
    return findings.empty();
}

/** Adds a finding when the dialect in the settings is not built into this binary. */
SettingsResult checkedSettings(SettingsResult result)
{
    if (result.findings.empty() && !findDialect(Dialects, result.settings.dialect))
        result.findings.add("/dialect", "is not known; write \"own\" or \"platform\"");
    return result;
}

ExitCode checkSettings(const std::string& path)
{
    const SettingsResult result = checkedSettings(SettingsReader().readFile(path));
    if (!reportFindings(result.findings))
        return ExitCode::Refused;
    std::cout << "The settings are good.\n";
    return ExitCode::Success;
}

Severity severityOf(LogLevel level)
{
    return static_cast<Severity>(level);
}

ExitCode serve(const std::string& path)
{
    holdSignals();
    releaseLargeBlocksAtOnce();
    SettingsFile file(path);
    const SettingsResult result = checkedSettings(file.read());
    if (!reportFindings(result.findings))
        return ExitCode::Refused;
    const Settings& settings = result.settings;
    startLogging({ .asJson = settings.logFormat == LogFormat::Json,
        .lowest = severityOf(settings.logLevel),
        .instance = settings.instanceName });
    std::signal(SIGPIPE, SIG_IGN);
    // Invalid messages are counted instead of logged, so that no sender can flood the log.
    google::protobuf::SetLogHandler(nullptr);
    Instance instance(settings, file, findDialect(Dialects, settings.dialect)->make());
    const ExitCode code = instance.run() ? ExitCode::Refused : ExitCode::Success;
    stopLogging();
    return code;
}

}

int main(int argc, char** argv)
{
    CLI::App program("burlreach, a load balancer for sessions that may not be dropped");
    program.set_version_flag("--version", BURLREACH_VERSION);
    program.require_subcommand(1);
    program.footer("Exit codes: 0 done, 1 refused with findings, 2 wrong arguments, 3 conflict, 4 unknown, "
                   "6 no answer.");
    ExitCode code = ExitCode::Success;
    std::string settingsPath;

    CLI::App* serveCommand = program.add_subcommand("serve", "Run an instance until it is asked to stop");
    serveCommand->add_option("--settings", settingsPath, "Settings file in JSON")->required();
    serveCommand->callback([&] { code = serve(settingsPath); });

    CLI::App* checkCommand
        = program.add_subcommand("check-settings", "Report everything that is wrong in a settings file");
    checkCommand->add_option("file", settingsPath, "Settings file in JSON")->required();
    checkCommand->callback([&] { code = checkSettings(settingsPath); });

    ControlCommand control;
    control.addTo(program);
    for (CLI::App* command : program.get_subcommands({}))
        command->set_version_flag("--version", BURLREACH_VERSION);
    try {
        program.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return program.exit(error) ? toInt(ExitCode::Usage) : toInt(ExitCode::Success);
    }
    return code == ExitCode::Success ? toInt(control.exitCode()) : toInt(code);
}
