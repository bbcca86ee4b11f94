#pragma once

#include "Base/Milliseconds.h"
#include "Configuration/ChangeListener.h"
#include "Membership/MemberDirectory.h"

#include <optional>
#include <vector>

namespace burlreach {

/**
 * Operators' questions about what is in force where. Every known instance is
 * asked, and the answer is given when all have answered or a bound has passed.
 */
class InForceInquiry {
public:
    struct Options {
        Milliseconds bound{ 1000 };
    };

    explicit InForceInquiry(Options options);

    void start(OperatorCallNumber call, Milliseconds now);
    /** A question that all have answered or that has waited long enough. */
    std::optional<OperatorCallNumber> takeDone(
        const MemberDirectory& directory, std::string_view self, Milliseconds now);
    /** The answer as known now; reached means heard within the bound. */
    v1::ShowInForceAnswer describe(const MemberDirectory& directory, std::string_view self, Milliseconds now) const;

private:
    struct Question {
        OperatorCallNumber call = 0;
        Milliseconds askedAt;
    };

    Options options;
    std::vector<Question> questions;
};

}
