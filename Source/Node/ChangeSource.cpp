#include "Node/ChangeSource.h"

namespace burlreach {

std::string_view nameOf(ChangeSource source)
{
    switch (source) {
    case ChangeSource::Store:
        return "store";
    case ChangeSource::News:
        return "news";
    case ChangeSource::Push:
        return "push";
    case ChangeSource::OwnWrite:
        return "own_write";
    }
    return "";
}

}
