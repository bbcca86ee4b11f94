#pragma once

#include "Base/Clock.h"
#include "Logging/Logger.h"
#include "Node/DecisionRecord.h"
#include "Program/LineBudget.h"

#include <mutex>

namespace burlreach {

/**
 * Logs one line per decision, rate-limited by topic so that a burst of requests
 * does not flood the log. Suppressed lines are counted, and their number is
 * logged. Thread-safe.
 */
class DecisionLog {
public:
    explicit DecisionLog(const Clock& clock);

    void write(const DecisionRecord& record);
    /** Logs how many lines were suppressed since the last call. Call it every few seconds. */
    void tellLeftOut();

private:
    /** The logger, severity and rate limit of one topic. */
    struct Channel {
        Logger log;
        Severity severity;
        LineBudget budget;
    };

    Channel& channelOf(RecordTopic topic);

    const Clock* clock;
    std::mutex mutex;
    Channel requests;
    Channel refusals;
    Channel beliefs;
};

}
