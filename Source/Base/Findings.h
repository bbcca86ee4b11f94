#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** An error in a user's input. */
struct Finding {
    std::string place; // such as /services/2/limits
    std::string message; // what is wrong and what to write instead

    bool operator==(const Finding&) const = default;
};

/** A list of findings, so that all errors of an input are reported together. */
class Findings {
public:
    void add(std::string_view place, std::string_view message);
    bool empty() const { return this->list.empty(); }
    const std::vector<Finding>& all() const { return this->list; }

    /** One line for each finding: "PLACE: MESSAGE". */
    std::string text() const;

private:
    std::vector<Finding> list;
};

}
