#pragma once

#include "Settings/SettingsReader.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burlreach {

/** Reads the settings file of a running process and detects changes of it. */
class SettingsFile {
public:
    explicit SettingsFile(std::string path);

    SettingsResult read();
    /** Returns true when the file was changed or replaced since the last read(). */
    bool hasChanged() const;

private:
    /** Modification time, size and inode: they differ when the file was changed or replaced. */
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
