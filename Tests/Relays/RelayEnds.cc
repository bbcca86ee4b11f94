// Plays answers that pause or break off in the middle and the ends of instances that relay them, with the program in
// processes of its own, and judges by the bytes that each caller got, whatever the instances tried again.
//
// Guards against a part of an answer that reaches a caller as a whole one: half of an answer without a length, because
// the connection of a killed relay ends in order; an answer whose last bytes are what a relay says of its end; an
// answer whose header stops. And against answers that are held until they are whole: their callers got the first byte
// last.

#include "Tests/Relays/RelayCase.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace burlreach;

    CLI::App app("Plays the ends of instances that relay requests");
    std::string only;
    RelayPlayOptions options;
    std::string kept;
    app.add_option("--case", only, "Only the case of this name");
    app.add_option("--program", options.program, "Path of CutOffBurlreach")->required();
    app.add_option("--keep", kept, "Folder that keeps settings and logs");
    CLI11_PARSE(app, argc, argv);
    std::size_t passed = 0;
    std::size_t failed = 0;
    for (const RelayCase& item : relayCases()) {
        if (!only.empty() && item.name != only)
            continue;
        const std::filesystem::path parent
            = kept.empty() ? std::filesystem::temp_directory_path() : std::filesystem::path(kept);
        options.folder = parent / ("relays-" + item.name + "-" + std::to_string(getpid()));
        std::filesystem::create_directories(options.folder);
        const RelayResult result = playRelays(item, options);
        if (kept.empty())
            std::filesystem::remove_all(options.folder);
        ++(result.broken.empty() ? passed : failed);
        std::cout << (result.broken.empty() ? "passed " : "failed ") << item.name << ": " << result.seen << '\n';
        for (const std::string& line : result.broken)
            std::cout << "    " << line << '\n';
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed || !passed ? 1 : 0;
}
