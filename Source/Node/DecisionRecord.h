#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

enum class RecordTopic {
    Request, // a decision on one request
    Refusal, // a request that got no backend server's answer, or a retry
    Belief // what this instance believes has changed
};

/** A named input or outcome. */
struct RecordField {
    std::string_view name; // of static storage
    std::string value;
    bool isNumber = false;
};

/** One decision with the inputs that decided it, for the log. */
struct DecisionRecord {
    RecordTopic topic = RecordTopic::Belief;
    std::string_view event; // of static storage, such as "attempt_sent"
    std::string subject; // id of the request, the backend server or the instance
    std::vector<RecordField> fields;

    DecisionRecord& with(std::string_view name, std::string value);
    DecisionRecord& with(std::string_view name, std::string_view value) { return this->with(name, std::string(value)); }
    DecisionRecord& with(std::string_view name, const char* value) { return this->with(name, std::string(value)); }
    /** A number, to a tenth. */
    DecisionRecord& with(std::string_view name, double value);
    DecisionRecord& with(std::string_view name, std::uint64_t value);
};

/** A record of what this instance believes; the subject is what it is about. */
DecisionRecord beliefOf(std::string_view event, std::string subject);

}
