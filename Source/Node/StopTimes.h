#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** The times of a planned stop that decide which requests are still sent to a server. */
struct StopTimes {
    Milliseconds noticedBy = LongAgo; // until then callers come because they cannot know of the stop yet
    Milliseconds answersDue
        = Never; // the last answers must be complete, since the process ends soon after; Never: no stop
};

}
