#pragma once

#include "Node/Events.h"

namespace burlreach {

/** Posts events from any thread to the instance's Node. */
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void post(const Event& event) = 0;
};

}
