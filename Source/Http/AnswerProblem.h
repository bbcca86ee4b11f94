#pragma once

#include <string_view>

namespace burlreach {

/** Why what a server sent is not its answer. */
enum class AnswerProblem {
    None,
    ConnectionEnded, // before the answer was complete
    Invalid, // the bytes are no message of the protocol
    NoAnswer, // a message that a server does not send in answer to a request
    OtherRequest // an answer to another request, after which the connection ends
};

/** The name used in log lines, such as "connection_ended". */
std::string_view nameOf(AnswerProblem problem);

}
