#pragma once

#include <string_view>

namespace burlreach {

/** Why what a server sent is not its answer. */
enum class AnswerProblem {
    None,
    ConnectionEnded, // before the answer was complete
    RelayEnded, // the instance that relayed the connection ended before the answer was complete
    Invalid, // the bytes are no message of the protocol
    NoAnswer, // a message that a server does not send in answer to a request
    OtherRequest, // an answer to another request, after which the connection ends
    TooLong, // more bytes than an answer may have, in its body or elsewhere
    TooManyAnswers, // interim answers, or answers to other requests, without the own one
    MemoryFull // all answers that are being received take too much memory, and this one most of it
};

/** True if the server has sent more than an answer may have. */
bool isOverLimit(AnswerProblem problem);

/** The name used in log lines, such as "connection_ended". */
std::string_view nameOf(AnswerProblem problem);

}
