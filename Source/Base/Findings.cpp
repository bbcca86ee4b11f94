#include "Base/Findings.h"

namespace burlreach {

void Findings::add(std::string_view place, std::string_view message)
{
    this->list.push_back({ .place = std::string(place), .message = std::string(message) });
}

std::string Findings::text() const
{
    std::string text;
    for (const Finding& finding : this->list) {
        text += finding.place;
        text += ": ";
        text += finding.message;
        text += '\n';
    }
    return text;
}

}
