#include "Node/FactSource.h"

namespace burlreach {

std::string_view nameOf(FactSource source)
{
    switch (source) {
    case FactSource::Store:
        return "store";
    case FactSource::News:
        return "news";
    case FactSource::Push:
        return "push";
    case FactSource::OwnWrite:
        return "own_write";
    }
    return "";
}

}
