#pragma once

namespace burlreach {

/** Something that holds the bytes of an answer while it is received. */
class AnswerHolder {
public:
    virtual ~AnswerHolder() = default;

    /** True if the server has declared how long the answer is, so that it will end. */
    virtual bool hasDeclaredLength() const = 0;
    /** Drops the answer and its bytes. */
    virtual void dropAnswer() = 0;
};

}
