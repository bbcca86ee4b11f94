#pragma once

#include "Tests/FaultMatrix/CallerRecords.h"
#include "Tests/FaultMatrix/Fault.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** A fault that strikes at a step, and perhaps a second one somewhat later. */
struct CellPlan {
    Step step = Step::RunOnceArrived;
    Fault fault = Fault::None;
    Fault second = Fault::None;
    std::uint64_t seed = 1;

    std::string name() const;
};

/** What a cell showed; good when there are no violations. */
struct CellResult {
    std::vector<std::string> violations;
    bool struck = false; // the step was reached and the fault took place
    int answered = 0;
    int refused = 0;
    int unknown = 0;
};

/**
 * One run of a fleet of three under load, with changes, a backend server that
 * leaves and, where the step needs it, a stop or a restart. A fault strikes the
 * first time that the step is reached. Then everything heals, and what must
 * hold is checked from the journals and from what callers and operators were
 * told.
 */
class Cell {
public:
    explicit Cell(const CellPlan& plan);

    CellResult run();

private:
    /** A change and what its operator was told. */
    struct Change {
        v1::ChangeRequest request;
        std::optional<v1::ChangeAnswer> answer;
    };

    void script();
    void strike(Fault fault, std::size_t node);
    Fate fateOf(Fault fault) const;
    Fate reached(Step step, std::size_t node);
    void cutPeers(std::size_t node, bool outgoing, bool incoming, bool isCut);
    void restart(std::size_t node, Milliseconds after);
    void ask(std::size_t node, std::size_t change);
    void addChange(const std::string& id, std::uint32_t expectedRevision, std::uint32_t percent);
    void answered(std::size_t change, const v1::ChangeAnswer& answer);
    void heal();
    void endStops();
    void watchRevision(std::size_t node);

    void checkRunOnce();
    void checkAnswers();
    void checkConfiguration();
    void checkLeaving();
    void checkProbes();
    void violation(const std::string& text);

    CellPlan plan;
    VirtualFleet fleet;
    CallerRecords callers;
    std::vector<Change> changes;
    std::vector<std::uint32_t> revisions; // last seen of each node's present life
    std::vector<std::uint64_t> lives;
    std::vector<bool> disturbed; // nodes that were cut or frozen
    bool armed = false;
    bool struck = false;
    std::size_t stopped = 0; // node that was asked to stop, plus one
    CellResult result;
};

}
