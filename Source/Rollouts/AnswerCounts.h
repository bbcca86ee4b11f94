#pragma once

#include <cstdint>

namespace burlreach {

/** Answers of a version: how many there were, and how many of them failed or took several times as long as usual. */
struct AnswerCounts {
    std::uint64_t all = 0;
    std::uint64_t bad = 0;

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

/** The same requests at both versions. */
struct VersionCounts {
    AnswerCounts usual;
    AnswerCounts target;

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
