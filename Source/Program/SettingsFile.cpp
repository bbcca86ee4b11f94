#include "Program/SettingsFile.h"

#include <sys/stat.h>
#include <utility>

namespace burlreach {

SettingsFile::SettingsFile(std::string givenPath)
    : path(std::move(givenPath))
{
}

SettingsFile::Stamp SettingsFile::stamp() const
{
    struct stat status { };
    if (stat(this->path.c_str(), &status) != 0)
        return {};
    return { .seconds = status.st_mtim.tv_sec,
        .nanoseconds = status.st_mtim.tv_nsec,
        .size = status.st_size,
        .file = status.st_ino };
}

SettingsResult SettingsFile::read()
{
    this->lastRead = this->stamp();
    return SettingsReader().readFile(this->path);
}

bool SettingsFile::hasChanged() const
{
    const Stamp now = this->stamp();
    return now != this->lastRead && now != Stamp{};
}

}
