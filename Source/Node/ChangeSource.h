#pragma once

#include <string_view>

namespace burlreach {

/** How this instance learned of a change in the store. */
enum class ChangeSource {
    Store, // this instance read or watched the store
    News, // a gossip update of an instance that watches the store
    Push, // sent by another instance, in answer to a pull or unsolicited
    OwnWrite // written by this instance
};

/** The source's name in log lines. */
std::string_view nameOf(ChangeSource source);

}
