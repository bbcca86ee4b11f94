#include "Json.h"

#include <array>
#include <cctype>
#include <charconv>

namespace review {

namespace {

/** Reads one value after the other from a text. */
class JsonReader {
public:
    explicit JsonReader(std::string_view givenText)
        : text(givenText)
    {
    }

    Json value()
    {
        Json found;
        switch (this->peek()) {
        case '{':
            this->readObject(found);
            break;
        case '[':
            this->readList(found);
            break;
        case '"':
            found.text = this->string();
            break;
        default:
            this->readWord(found);
            break;
        }
        return found;
    }

private:
    char peek()
    {
        while (!this->text.empty() && std::isspace(static_cast<unsigned char>(this->text.front())))
            this->text.remove_prefix(1);
        return this->text.empty() ? '\0' : this->text.front();
    }

    bool skip(char expected)
    {
        if (this->peek() != expected)
            return false;
        this->text.remove_prefix(1);
        return true;
    }

    std::string string()
    {
        this->skip('"');
        std::string found;
        while (!this->text.empty() && this->text.front() != '"') {
            if (this->text.front() == '\\' && this->text.size() > 1)
                this->text.remove_prefix(1);
            found += this->text.front();
            this->text.remove_prefix(1);
        }
        this->skip('"');
        return found;
    }

    void readObject(Json& found)
    {
        this->skip('{');
        while (this->peek() == '"') {
            const std::string name = this->string();
            this->skip(':');
            found.fields[name] = this->value();
            this->skip(',');
        }
        this->skip('}');
    }

    void readList(Json& found)
    {
        this->skip('[');
        while (this->peek() != ']' && this->peek() != '\0') {
            found.list.push_back(this->value());
            this->skip(',');
        }
        this->skip(']');
    }

    void readWord(Json& found)
    {
        std::string word;
        while (std::isalnum(static_cast<unsigned char>(this->peek())) || this->peek() == '-' || this->peek() == '.') {
            word += this->peek();
            this->text.remove_prefix(1);
        }
        if (word.empty() && !this->text.empty())
            this->text.remove_prefix(1);
        std::from_chars(word.data(), word.data() + word.size(), found.number);
    }

    std::string_view text;
};

}

const Json& Json::at(const std::string& name) const
{
    static const Json none;
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? none : found->second;
}

Json parseJson(std::string_view text)
{
    return JsonReader(text).value();
}

std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t group = 3;
    constexpr unsigned byteBits = 8;
    constexpr unsigned letterBits = 6;
    constexpr unsigned mask = 63;
    std::string encoded;
    for (std::size_t begin = 0; begin < bytes.size(); begin += group) {
        unsigned bits = 0;
        for (std::size_t index = 0; index < group; ++index) {
            const bool isThere = begin + index < bytes.size();
            bits = (bits << byteBits) | (isThere ? static_cast<unsigned char>(bytes[begin + index]) : 0U);
        }
        for (std::size_t index = 0; index <= group; ++index) {
            const bool isThere = begin + index <= bytes.size();
            const unsigned shift = letterBits * static_cast<unsigned>(group - index);
            encoded += isThere ? letters[(bits >> shift) & mask] : '=';
        }
    }
    return encoded;
}

}
