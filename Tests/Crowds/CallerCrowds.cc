// Plays crowds of callers that don't behave against the program in a process of its own. Prints what was seen of each
// crowd, and what it broke.
//
// Guards against an instance that runs out of memory or descriptors: callers who sent many bodies of legal size at
// once, most of them stopping just short of their end, ended the process, and with it the requests of all other
// callers.

#include "Tests/Crowds/CrowdCase.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace burlreach;

    CLI::App app("Plays crowds of callers that don't behave");
    std::string only;
    CrowdPlayOptions options;
    app.add_option("--case", only, "Only the case of this name");
    app.add_option("--program", options.program, "Path of burlreach")->required();
    CLI11_PARSE(app, argc, argv);
    std::size_t passed = 0;
    std::size_t failed = 0;
    for (const CrowdCase& item : crowdCases()) {
        if (!only.empty() && item.name != only)
            continue;
        options.folder
            = std::filesystem::temp_directory_path() / ("crowd-" + item.name + "-" + std::to_string(getpid()));
        std::filesystem::create_directories(options.folder);
        const CrowdResult result = playCrowd(item, options);
        std::filesystem::remove_all(options.folder);
        ++(result.broken.empty() ? passed : failed);
        std::cout << (result.broken.empty() ? "passed " : "failed ") << item.name << ": " << result.seen << '\n';
        for (const std::string& line : result.broken)
            std::cout << "    " << line << '\n';
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed || !passed ? 1 : 0;
}
