#pragma once

#include "Base/Clock.h"
#include "Logging/Logger.h"
#include "Node/DecisionRecord.h"
#include "Program/LineBudget.h"

#include <mutex>

namespace burlreach {

/**
 * Writes a line for each decision, within a budget for each topic, so that a
 * storm of requests does not become a storm of lines. What is left out is
 * counted and told. Safe from any thread.
 */
class DecisionLog {
public:
    explicit DecisionLog(const Clock& clock);

    void write(const DecisionRecord& record);
    /** Tells how many lines were left out; to be called every few seconds. */
    void tellLeftOut();

private:
    /** What is needed for one topic. */
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
