#include "Tests/Crowds/CrowdCase.h"

namespace burlreach {

namespace {

constexpr std::size_t Megabyte = 1000000;

CrowdCase with(CrowdCase item, const std::string& name)
{
    item.name = name;
    return item;
}

std::vector<CrowdCase> bodies()
{
    // 384 MB altogether; each body is of legal size.
    const CrowdCase whole{ .name = "WholeBodies", .callers = 24, .bodyBytes = 16 * Megabyte };
    CrowdCase pieces = with(whole, "WholeBodiesInPieces");
    pieces.pieceBytes = 40000;
    CrowdCase unfinished = with(whole, "UnfinishedBodies");
    unfinished.isUnfinished = true;
    CrowdCase unfinishedPieces = with(pieces, "UnfinishedBodiesInPieces");
    unfinishedPieces.isUnfinished = true;
    CrowdCase beside = with(whole, "WholeBodiesAtSlowServer");
    beside.workTime = std::chrono::milliseconds(3000);
    const CrowdCase many{ .name = "ManyUnfinishedBodies", .callers = 360, .bodyBytes = Megabyte, .isUnfinished = true };
    const CrowdCase pipelined{ .name = "PipelinedBodies",
        .callers = 24,
        .bodyBytes = 2 * Megabyte,
        .requestsEach = 8,
        .mayRepeat = true,
        .workTime = std::chrono::milliseconds(2000) };
    return { whole, pieces, unfinished, unfinishedPieces, beside, many, pipelined };
}

std::vector<CrowdCase> chunkedBodies()
{
    const CrowdCase large{ .name = "LargeChunks",
        .callers = 24,
        .framing = CrowdFraming::Chunks,
        .bodyBytes = 16 * Megabyte,
        .chunkBytes = Megabyte };
    CrowdCase unfinishedLarge = with(large, "UnfinishedLargeChunks");
    unfinishedLarge.isUnfinished = true;
    CrowdCase small = with(large, "SmallChunks");
    small.chunkBytes = 16;
    CrowdCase unfinishedSmall = with(small, "UnfinishedSmallChunks");
    unfinishedSmall.isUnfinished = true;
    return { large, unfinishedLarge, small, unfinishedSmall };
}

std::vector<CrowdCase> bodiesOverTheLimit()
{
    return {
        { .name = "AnnouncedOverTheLimit",
            .callers = 24,
            .bodyBytes = 32 * Megabyte,
            .announcedBytes = 1000 * Megabyte },
        { .name = "ChunksOverTheLimit",
            .callers = 24,
            .framing = CrowdFraming::Chunks,
            .bodyBytes = 32 * Megabyte,
            .chunkBytes = Megabyte,
            .isUnfinished = true },
    };
}

std::vector<CrowdCase> singleMessages()
{
    // As large as the largest limit that a configuration can set.
    const CrowdCase body{
        .name = "SingleLargeBody", .bodyBytes = 67 * Megabyte, .maxBodyBytes = 67108864, .mustBeServed = true
    };
    CrowdCase chunks = with(body, "SingleLargeChunkedBody");
    chunks.framing = CrowdFraming::Chunks;
    chunks.chunkBytes = Megabyte;
    return {
        body,
        chunks,
        { .name = "SingleLargeAnswer",
            .framing = CrowdFraming::NoBody,
            .mayRepeat = true,
            .answerBytes = 60 * Megabyte,
            .mustBeServed = true },
        { .name = "EarlyAnswers", .callers = 6, .bodyBytes = 12 * Megabyte, .answersUploadsEarly = true },
        { .name = "UnreadAnswers",
            .callers = 12,
            .framing = CrowdFraming::NoBody,
            .startInterval = std::chrono::milliseconds(300),
            .mayRepeat = true,
            .readsAnswers = false,
            .answerBytes = 20 * Megabyte },
    };
}

std::vector<CrowdCase> connections()
{
    constexpr std::size_t sessions = 64;
    constexpr std::size_t callers = 100;
    constexpr std::size_t descriptors = 300;
    constexpr std::size_t aboveDescriptors = 400;
    std::vector<CrowdCase> cases{
        { .name = "HalfHeads", .callers = callers, .framing = CrowdFraming::HalfHead, .sessions = sessions },
        { .name = "SilentConnections", .callers = callers, .framing = CrowdFraming::Silence, .sessions = sessions },
        { .name = "StalledBodies", .callers = callers, .bodyBytes = 10000, .isUnfinished = true, .sessions = sessions },
        { .name = "DescriptorsOfHalfHeads",
            .callers = aboveDescriptors,
            .framing = CrowdFraming::HalfHead,
            .descriptors = descriptors },
        { .name = "DescriptorsOfSilentConnections",
            .callers = aboveDescriptors,
            .framing = CrowdFraming::Silence,
            .descriptors = descriptors },
    };
    const CrowdCase other{ .name = "OperatorsPort",
        .callers = aboveDescriptors,
        .framing = CrowdFraming::HalfHead,
        .port = CrowdPort::Operators,
        .descriptors = descriptors };
    CrowdCase peers = with(other, "PeersPort");
    peers.port = CrowdPort::Peers;
    peers.framing = CrowdFraming::Silence;
    CrowdCase relay = with(other, "RelayPort");
    relay.port = CrowdPort::Relay;
    CrowdCase readiness = with(other, "ReadinessPort");
    readiness.port = CrowdPort::Readiness;
    cases.insert(cases.end(), { other, peers, relay, readiness });
    return cases;
}

}

const std::vector<CrowdCase>& crowdCases()
{
    static const std::vector<CrowdCase> all = [] {
        std::vector<CrowdCase> cases;
        for (const auto& part : { bodies(), chunkedBodies(), bodiesOverTheLimit(), singleMessages(), connections() })
            cases.insert(cases.end(), part.begin(), part.end());
        return cases;
    }();
    return all;
}

}
