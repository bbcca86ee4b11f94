#include "Settings/DuplicateKeys.h"

#include <set>
#include <string>
#include <vector>

namespace burlreach {

namespace {

/** The keys seen so far in each object that is not yet closed. */
class KeyWatch {
public:
    explicit KeyWatch(Findings& givenFindings)
        : findings(&givenFindings)
    {
    }

    void opened() { this->levels.push_back({ .keys = {}, .current = {} }); }

    void closed() { this->levels.pop_back(); }

    void key(const std::string& name)
    {
        if (!this->levels.back().keys.insert(name).second)
            this->findings->add(this->placeOf(name), "is a duplicate key; keep only one of them");
        this->levels.back().current = name;
    }

private:
    struct Level {
        std::set<std::string> keys;
        std::string current;
    };

    std::string placeOf(const std::string& name) const
    {
        std::string place;
        for (std::size_t index = 0; index + 1 < this->levels.size(); ++index)
            place += "/" + this->levels[index].current;
        return place + "/" + name;
    }

    Findings* findings;
    std::vector<Level> levels;
};

}

nlohmann::json parseWithoutDuplicates(std::string_view text, Findings& findings)
{
    KeyWatch watch(findings);
    const auto callback = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& value) {
        if (event == nlohmann::json::parse_event_t::object_start)
            watch.opened();
        else if (event == nlohmann::json::parse_event_t::object_end)
            watch.closed();
        else if (event == nlohmann::json::parse_event_t::key)
            watch.key(value.get<std::string>());
        return true;
    };
    return nlohmann::json::parse(text, callback, false);
}

}
