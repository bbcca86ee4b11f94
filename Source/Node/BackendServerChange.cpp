#include "Node/BackendServerChange.h"

namespace burlreach {

std::string_view nameOf(BackendServerChange::Kind kind)
{
    switch (kind) {
    case BackendServerChange::Kind::Added:
        return "backend_server_added";
    case BackendServerChange::Kind::Changed:
        return "backend_server_changed";
    case BackendServerChange::Kind::Restarted:
        return "backend_server_restarted";
    case BackendServerChange::Kind::Draining:
        return "backend_server_draining";
    case BackendServerChange::Kind::Lapsed:
        return "backend_server_lapsed";
    case BackendServerChange::Kind::Unusable:
        return "backend_server_unusable";
    case BackendServerChange::Kind::Gone:
        return "backend_server_gone";
    }
    return "";
}

}
