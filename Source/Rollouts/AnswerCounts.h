#pragma once

#include <cstdint>

namespace burlreach {

/** Counts of one version's answers. */
struct AnswerCounts {
    std::uint64_t all = 0;
    std::uint64_t bad = 0; // failed, or took several times as long as usual

    AnswerCounts operator+(const AnswerCounts& other) const
    {
        return { .all = this->all + other.all, .bad = this->bad + other.bad };
    }
    AnswerCounts operator-(const AnswerCounts& other) const
    {
        return { .all = this->all - other.all, .bad = this->bad - other.bad };
    }
    bool operator==(const AnswerCounts&) const = default;
};

/** Counts of answers to the same kind of requests, at both versions of a roll-out. */
struct VersionCounts {
    AnswerCounts usual; // of the versions already in use, the baseline
    AnswerCounts target; // of the new version

    VersionCounts operator+(const VersionCounts& other) const
    {
        return { .usual = this->usual + other.usual, .target = this->target + other.target };
    }
    VersionCounts operator-(const VersionCounts& other) const
    {
        return { .usual = this->usual - other.usual, .target = this->target - other.target };
    }
    bool operator==(const VersionCounts&) const = default;
};

}
