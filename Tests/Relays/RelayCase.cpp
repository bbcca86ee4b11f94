#include "Tests/Relays/RelayCase.h"

namespace burlreach {

const std::vector<RelayCase>& relayCases()
{
    using Framing = AnswerFraming;
    using std::chrono::milliseconds;
    static const std::vector<AnswerFraming> ending{ Framing::Length, Framing::Chunks, Framing::Connection,
        Framing::Interim, Framing::ShortOfLength, Framing::ShortOfLastChunk };
    static const std::vector<AnswerFraming> stopped{ Framing::StoppedHead };
    static const std::vector<AnswerFraming> endless{ Framing::EndlessBody, Framing::EndlessChunkLine,
        Framing::EndlessHead };
    static const std::vector<RelayCase> cases{
        // Half of the pause in the middle of the answers.
        { .name = "NoTrouble", .framings = ending, .longestFirstByte = milliseconds(500) },
        { .name = "Direct", .isRelayed = false, .framings = ending, .longestFirstByte = milliseconds(500) },
        { .name = "DirectServerResets",
            .isRelayed = false,
            .trouble = RelayTrouble::ServerResets,
            .framings = ending,
            .longestFirstByte = milliseconds(500) },
        { .name = "StoppedHeads", .framings = stopped, .callers = 400, .pause = milliseconds(0) },
        { .name = "DirectStoppedHeads",
            .isRelayed = false,
            .framings = stopped,
            .callers = 400,
            .pause = milliseconds(0) },
        { .name = "Killed", .trouble = RelayTrouble::Kill, .framings = ending },
        { .name = "KilledWithoutRetries", .trouble = RelayTrouble::Kill, .framings = ending, .retrySlack = 0 },
        { .name = "KilledAtTheEnd",
            .trouble = RelayTrouble::KillAtTheEnd,
            .framings = ending,
            .callers = 60,
            .pauseStep = milliseconds(1) / 4.0 },
        { .name = "Stopped", .trouble = RelayTrouble::Stop, .framings = ending, .pause = milliseconds(2500) },
        { .name = "PausedAndKilled", .trouble = RelayTrouble::PauseAndKill, .framings = ending },
        { .name = "ServerResets", .trouble = RelayTrouble::ServerResets, .framings = ending },
        { .name = "Endless", .framings = endless, .callers = 48 },
    };
    return cases;
}

}
