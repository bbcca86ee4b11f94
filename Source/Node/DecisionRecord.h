#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

enum class RecordTopic {
    Request, // a decision on one request
    Refusal, // a request that no backend server answered, or a retry
    Knowledge // the state known to this instance has changed
};

/** A named input or outcome. */
struct RecordField {
    std::string_view name; // of static storage
    std::string value;
    bool isNumber = false;
};

/** A log record of one decision and its inputs. */
struct DecisionRecord {
    RecordTopic topic = RecordTopic::Knowledge;
    std::string_view event; // of static storage, such as "attempt_sent"
    std::string subject; // id of the request, backend server or instance
    std::vector<RecordField> fields;

    DecisionRecord& with(std::string_view name, std::string value);
    DecisionRecord& with(std::string_view name, std::string_view value) { return this->with(name, std::string(value)); }
    DecisionRecord& with(std::string_view name, const char* value) { return this->with(name, std::string(value)); }
    /** Adds a number rounded to a tenth; "never" when it is not finite. */
    DecisionRecord& with(std::string_view name, double value);
    DecisionRecord& with(std::string_view name, std::uint64_t value);
};

/** A record of a change in the state known to this instance; the subject names what changed. */
DecisionRecord knowledgeRecord(std::string_view event, std::string subject);

}
