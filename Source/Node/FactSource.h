#pragma once

#include <string_view>

namespace burlreach {

/** How a change of the store became known here. */
enum class FactSource {
    Store, // read or watched by this instance
    News, // told by a watching instance unasked
    Push, // another instance's answer to a pull
    OwnWrite
};

/** As it stands in log lines. */
std::string_view nameOf(FactSource source);

}
