#pragma once

#include "Base/Random.h"
#include "Exchange/StoreRequest.h"
#include "Tests/Virtual/VirtualTime.h"

#include <array>
#include <functional>

namespace burlreach {

/** What the fake of the platform's service does wrong just now. */
struct StoreFaults {
    bool down = false;
    bool limited = false;
    bool losesAnswers = false; // after the change took effect
    bool watchSilent = false;
    Milliseconds delay{ 2 }; // one way
};

/** Fake of the platform's key-value service: two documents with an index. */
class VirtualStore {
public:
    explicit VirtualStore(VirtualTime& time);

    void call(const StoreRequest& request, std::function<void(const StoreAnswer&)> answer);
    const std::string& value(StoreDocument document) const { return this->entry(document).value; }
    void put(StoreDocument document, std::string value);

    StoreFaults faults;
    /** Called with each new value, unless watches are silent. */
    std::function<void(StoreDocument)> changed;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    struct Entry {
        std::string value;
        std::uint64_t index = NoStoreIndex;
    };

    Entry& entry(StoreDocument document) { return this->entries[static_cast<std::size_t>(document)]; }
    const Entry& entry(StoreDocument document) const { return this->entries[static_cast<std::size_t>(document)]; }
    StoreAnswer carryOut(const StoreRequest& request);

    VirtualTime* time;
    std::array<Entry, 2> entries;
    std::uint64_t lastIndex = 0;
};

}
