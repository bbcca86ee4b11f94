#pragma once

#include "Node/Events.h"

namespace burlreach {

/** Takes events from any thread to the decisions of this instance. */
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void post(const Event& event) = 0;
};

}
