#include "Routing/RequestRules.h"

namespace burlreach {

namespace {

bool mayRepeatByStandard(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isMoreExact(const v1::RequestRule& rule, const v1::RequestRule& other)
{
    if (rule.path_prefix().size() != other.path_prefix().size())
        return rule.path_prefix().size() > other.path_prefix().size();
    return !rule.method().empty() && other.method().empty();
}

bool matches(const v1::RequestRule& rule, std::string_view method, std::string_view path)
{
    return (rule.method().empty() || rule.method() == method) && path.starts_with(rule.path_prefix());
}

}

RequestClass classify(
    const v1::Service& service, std::string_view method, std::string_view path, Milliseconds defaultDeadline)
{
    RequestClass found;
    found.repeat = mayRepeatByStandard(method) ? v1::MAY_REPEAT : v1::RUN_ONCE;
    found.deadline = defaultDeadline;
    const v1::RequestRule* best = nullptr;
    for (const v1::RequestRule& rule : service.rules()) {
        if (matches(rule, method, path) && (!best || isMoreExact(rule, *best)))
            best = &rule;
    }
    if (!best)
        return found;
    found.repeat = best->repeat();
    if (best->priority() != v1::PRIORITY_UNSPECIFIED)
        found.priority = best->priority();
    if (best->deadline_milliseconds())
        found.deadline = { static_cast<double>(best->deadline_milliseconds()) };
    return found;
}

}
