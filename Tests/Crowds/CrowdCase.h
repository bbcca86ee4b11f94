#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace burlreach {

/** How a body is framed. */
enum class CrowdFraming {
    NoBody,
    Length,
    Chunks,
    HalfHead, // the header is not complete
    Silence // nothing is sent
};

/** The port that a crowd connects to. */
enum class CrowdPort {
    Callers,
    Operators,
    Peers,
    Relay,
    Readiness
};

/** A crowd of callers and the limits of the instance. All bytes are counted for one caller. */
struct CrowdCase {
    std::string name;
    std::size_t callers = 1;
    CrowdFraming framing = CrowdFraming::Length;
    std::size_t bodyBytes = 0; // of each body, without its framing
    std::size_t announcedBytes = 0; // by Content-Length; 0: bodyBytes
    std::size_t chunkBytes = 0;
    bool isUnfinished = false; // stops just short of the end of the body
    std::size_t pieceBytes = 0; // sent at each turn; 0: all at once
    std::size_t requestsEach = 1; // sent behind each other without waiting for answers
    std::chrono::milliseconds startInterval{ 0 }; // between the connections of two callers
    bool mayRepeat = false; // the route's requests may run more than once
    CrowdPort port = CrowdPort::Callers;

    bool readsAnswers = true;
    std::size_t answerBytes = 2;
    std::chrono::milliseconds workTime{ 0 }; // of the server

    std::size_t maxBodyBytes = 16777216; // of the configuration
    std::size_t sessions = 0; // of the settings; 0: the default
    std::size_t descriptors = 0; // that the process may open; 0: as many as the test
    bool answersUploadsEarly = false; // the server answers in part, without a length, and resets the connection
    bool mustBeServed = false; // every caller of the crowd gets a whole answer of the server
};

/** What must hold of the process: the smallest machine of the users' platform, for which the default limits stand. */
constexpr std::size_t MaxProcessBytes = 160000000;
constexpr std::size_t MaxDescriptors = 4100;

const std::vector<CrowdCase>& crowdCases();

/** Plays a case with the program in a process of its own; returns what was broken, and a line on what was seen. */
struct CrowdResult {
    std::vector<std::string> broken;
    std::string seen;
};

struct CrowdPlayOptions {
    std::string program; // path
    std::string folder; // for settings and log
};

CrowdResult playCrowd(const CrowdCase& item, const CrowdPlayOptions& options);

}
