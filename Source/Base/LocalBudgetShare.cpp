#include "Base/LocalBudgetShare.h"

#include <cmath>

namespace burlreach {

LocalBudgetShare::Allowance& LocalBudgetShare::currentAllowance(
    const std::string& key, const Rate& part, Random& random, Milliseconds now)
{
    Allowance& allowance = this->allowances[key];
    if (now < allowance.until)
        return allowance;
    const double dealt = part.perSecond * (part.window / Second);
    const double whole = std::floor(dealt);
    const bool hasOneMore = random.unit() < dealt - whole;
    allowance = { .left = static_cast<unsigned>(whole) + (hasOneMore ? 1 : 0), .until = now + part.window };
    return allowance;
}

bool LocalBudgetShare::has(const std::string& key, const Rate& part, Random& random, Milliseconds now)
{
    return this->currentAllowance(key, part, random, now).left > 0;
}

bool LocalBudgetShare::take(const std::string& key, const Rate& part, Random& random, Milliseconds now)
{
    Allowance& allowance = this->currentAllowance(key, part, random, now);
    if (!allowance.left)
        return false;
    --allowance.left;
    return true;
}

}
