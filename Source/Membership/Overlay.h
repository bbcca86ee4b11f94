#pragma once

#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace burlreach {

/**
 * Who sends heartbeats to whom. The members stand on a ring in the order of
 * the hashes of their names, and each sends to those at distances 1, b, b^2
 * and so on, so that every member has few neighbours and news passes all of
 * them in few steps. Every instance works it out from the same member list.
 */
class Overlay {
public:
    Overlay() = default;
    explicit Overlay(const peers::Ownership& ownership);

    /** Members to which this one sends. */
    std::vector<peers::Member> targets(std::uint64_t self) const;
    /** Members that send to this one, and are missed when they fall silent. */
    std::vector<peers::Member> sources(std::uint64_t self) const;
    /** All by rank. The first watch the store and change the ownership. */
    std::span<const peers::Member> ranked() const { return this->byRank; }
    bool contains(std::uint64_t incarnation) const;
    std::size_t size() const { return this->ring.size(); }

private:
    std::size_t positionOf(std::uint64_t incarnation) const;
    std::vector<std::size_t> distances() const;

    std::vector<peers::Member> ring;
    std::vector<peers::Member> byRank;
};

}
