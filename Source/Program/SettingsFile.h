#pragma once

#include "Settings/SettingsReader.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burlreach {

/** The settings file of a running process; tells when it has changed. */
class SettingsFile {
public:
    explicit SettingsFile(std::string path);

    SettingsResult read();
    /** True when the file is another one than at the last read. */
    bool hasChanged() const;

private:
    /** What tells one state of the file from another. */
    struct Stamp {
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;
        std::int64_t size = 0;
        std::uint64_t file = 0;

        bool operator==(const Stamp&) const = default;
    };

    Stamp stamp() const;

    std::string path;
    Stamp lastRead;
};

}
