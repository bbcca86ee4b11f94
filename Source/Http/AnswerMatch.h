#pragma once

namespace burlreach {

/** What the header of an answer says about the request to which it belongs. */
enum class AnswerMatch {
    Own, // the answer to the request that was sent
    OtherRequest, // a surplus answer to another request; the own one may follow
    NoAnswer // no answer that the server gives to a request, whatever its status
};

}
