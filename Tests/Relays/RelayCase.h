#pragma once

#include "Tests/Relays/HalvedAnswerServer.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

/** What happens while answers are in the middle, to the instance that relays most of them or to their server. */
enum class RelayTrouble {
    None,
    Kill, // SIGKILL
    KillAtTheEnd, // SIGKILL, when the first answers have been sent whole
    Stop, // SIGTERM; the answers outlast the bound of the stop
    PauseAndKill, // SIGSTOP, then SIGKILL
    ServerResets // the server resets the connections
};

/** Requests of callers at an instance that has no path to the server, so that others relay them, or has one. */
struct RelayCase {
    std::string name;
    bool isRelayed = true;
    RelayTrouble trouble = RelayTrouble::None;
    std::vector<AnswerFraming> framings; // of the server's answers; each in turn
    std::size_t callers = 24; // half of them on a route whose requests may run only once
    std::chrono::duration<double, std::milli> pause{ 1000 }; // in the middle of each answer
    std::chrono::duration<double, std::milli> pauseStep{ 0 }; // by which each caller's pause is longer
    unsigned retrySlack = 640; // retries of the fleet in 10 s
    /** Every caller must have the first byte of its answer after this time; 0: not judged. */
    std::chrono::duration<double, std::milli> longestFirstByte{ 0 };
};

const std::vector<RelayCase>& relayCases();

/** One sentence for each rule that was broken, and a line on what was seen. */
struct RelayResult {
    std::vector<std::string> broken;
    std::string seen;
};

struct RelayPlayOptions {
    std::string program; // path of CutOffBurlreach
    std::string folder; // for settings and logs
};

/** Plays a case with the program in processes of its own. */
RelayResult playRelays(const RelayCase& item, const RelayPlayOptions& options);

}
