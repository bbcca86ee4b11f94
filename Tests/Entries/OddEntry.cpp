#include "Tests/Entries/OddEntry.h"

#include <cstddef>
#include <string_view>
#include <utility>

namespace burlreach {

namespace {

constexpr std::size_t ValueBytes = 1000000; // about as many as the store takes
constexpr std::size_t ManyEntries = 300;

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t number = 0; number < count; ++number)
        result += text;
    return result;
}

std::string nestedLists(std::size_t depth)
{
    return repeated("[", depth) + repeated("]", depth);
}

std::string nestedObjects(std::size_t depth)
{
    return repeated(R"({"a":)", depth) + "1" + repeated("}", depth);
}

/** The text with `to` in place of what stands between two marks. */
std::string withValue(const std::string& text, std::string_view before, std::string_view behind, std::string_view to)
{
    const std::size_t begin = text.find(before) + before.size();
    const std::size_t end = text.find(behind, begin);
    return text.substr(0, begin) + std::string(to) + text.substr(end);
}

/** A JSON object with a further field before its others. */
std::string withField(const std::string& object, const std::string& field)
{
    return "{" + field + "," + object.substr(1);
}

class EntryList {
public:
    explicit EntryList(std::string givenServer)
        : server(std::move(givenServer))
    {
    }

    void add(const std::string& name, const std::string& value) { this->addItem(name, "servers/i-odd", value); }
    void addItem(const std::string& name, const std::string& key, const std::string& value)
    {
        this->entries.push_back({ .name = name, .items = { { key, value } } });
    }
    void addSlots(std::string_view value) { this->addReplaced("slots", R"("slots":)", "}", value); }
    void addSequence(std::string_view value) { this->addReplaced("sequence", R"("sequence":)", ",", value); }
    void addCold(std::string_view value) { this->addReplaced("cold time", R"("cold_remaining":)", "}", value); }
    void addAddress(std::string_view value) { this->addReplaced("address", R"("address":)", R"(,"info")", value); }
    void addMany(const std::string& name, const std::string& value)
    {
        OddEntry entry{ .name = name, .items = {} };
        for (std::size_t number = 0; number < ManyEntries; ++number)
            entry.items.emplace_back("servers/i-many-" + std::to_string(number), value);
        this->entries.push_back(std::move(entry));
    }
    std::vector<OddEntry> take() { return std::move(this->entries); }

private:
    void addReplaced(const char* what, std::string_view before, std::string_view behind, std::string_view value)
    {
        constexpr std::size_t shown = 30;
        this->add(std::string(what) + " " + std::string(value.substr(0, shown)),
            withValue(this->server, before, behind, value));
    }

    std::string server;
    std::vector<OddEntry> entries;
};

void addServers(EntryList& list, const std::string& server)
{
    for (const std::size_t depth : { ValueBytes / 10, ValueBytes / 2 })
        list.add("lists nested " + std::to_string(depth), nestedLists(depth));
    const std::string deepLists = nestedLists(ValueBytes / 4);
    const std::string deepObjects = nestedObjects(ValueBytes / 10);
    list.add("nested objects", deepObjects);
    list.add("nested, not closed", repeated("[", ValueBytes));
    list.add("an unknown field, nested lists", withField(server, R"("x":)" + deepLists));
    list.add("an unknown field, nested objects", withField(server, R"("x":)" + deepObjects));
    for (const std::string_view value : { "1e400", "1e19", "-1e400", "2147483648", "4294967296", "18446744073709551615",
             "18446744073709551616", "-1", "0", "1.5", "\"3\"", "null", "true", "[]", "0x10", "NaN" })
        list.addSlots(value);
    list.addSlots(deepLists);
    for (const std::string_view value : { "1e400", "-1", "18446744073709551616", "{}" })
        list.addSequence(value);
    for (const std::string_view value :
        { "\"1e308ms\"", "\"1e400s\"", "\"-5ms\"", "\"nan\"", "\"infs\"", "7", "\"99999999999999999999999s\"", "\"\"" })
        list.addCold(value);
    for (const std::string_view value :
        { "\"127.0.0.1:65536\"", "\"127.0.0.1:70000\"", "\"127.0.0.1:0\"", "\"127.0.0.1:-1\"",
            "\"127.0.0.1:99999999999999999999999\"", "\"127.0.0.1:\"", "\"127.0.0.1\"", "\"127.0.0.1:80a\"", "\":80\"",
            "\"\"", "\"[::1]:80\"", "\"999.0.0.1:80\"", "\"host.example:80\"", "80", "null", "\"127.0.0.1:8\\u0000\"" })
        list.addAddress(value);
    list.addAddress(deepObjects);
    list.add("no UTF-8", withField(server, "\"x\":\"\xff\xfe\x80\""));
    list.add("empty", "");
    list.add("null", "null");
    list.add("a number", "1e400");
    list.add("cut off", server.substr(0, server.size() / 2));
    list.add("bytes", repeated(std::string("\0\x01\xff", 3), ValueBytes / 10));
    list.add("a long text", withField(server, "\"x\":\"" + repeated("x", ValueBytes) + "\""));
    list.add("many empty lists", withField(server, "\"x\":[" + repeated("[],", ValueBytes / 3) + "[]]"));
    list.add("many empty objects", withField(server, "\"x\":[" + repeated("{},", ValueBytes / 3) + "{}]"));
    list.add("many fields", "{" + repeated("\"a\":{},", ValueBytes / 7) + "\"b\":1}");
    for (const std::string& key : { std::string("servers/"), std::string("servers/a/b"),
             "servers/" + repeated("k", 190), std::string("servers/\"\\\n\x01\x7f") })
        list.addItem("a key of " + std::to_string(key.size()) + " bytes", key, nestedLists(ValueBytes / 10));
    list.addMany("many nested entries", nestedLists(3000));
    list.addMany("many entries without a port", withValue(server, R"("address":)", R"(,"info")", "\"127.0.0.1\""));
}

void addConfigurations(EntryList& list, const std::string& configuration)
{
    const std::string deepLists = nestedLists(ValueBytes / 4);
    const std::string deepObjects = nestedObjects(ValueBytes / 10);
    const auto add = [&list](const std::string& name, const std::string& value) {
        list.addItem("configuration: " + name, "op/config", value);
    };
    add("nested lists", deepLists);
    add("nested objects", deepObjects);
    add("an unknown field, nested", withField(configuration, R"("x":)" + deepObjects));
    add("limits nested", withField(configuration, R"("limits":)" + deepLists));
    add("keys nested",
        withField(configuration, R"("tenants":{"t":{"api_keys":["k",)" + nestedObjects(ValueBytes / 7) + "]}}"));
    add("a limit too large", withField(configuration, R"("limits":{"max_body_bytes":1e400})"));
    add("empty", "");
}

void addOthers(EntryList& list)
{
    const std::string deep = nestedObjects(ValueBytes / 10);
    for (const char* key : { "op/evacuate/x", "op/rollout/s", "burlreach/fleet-size", "burlreach/crashing-requests",
             "burlreach/credit-grantor", "burlreach/rollouts/s", "burlreach/unknown" }) {
        list.addItem(std::string(key) + " nested", key, deep);
        list.addItem(std::string(key) + " large number", key, "99999999999999999999999999");
        list.addItem(std::string(key) + " empty", key, "");
    }
}

}

std::vector<OddEntry> oddEntries(const std::string& soundServer, const std::string& soundConfiguration)
{
    EntryList list(soundServer);
    addServers(list, soundServer);
    addConfigurations(list, soundConfiguration);
    addOthers(list);
    return list.take();
}

}
