#pragma once

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace Review
{

/** A JSON value; numbers keep their text. */
struct Json {
    enum class Kind {
        Null,
        Bool,
        Number,
        Text,
        List,
        Table
    };

    Kind kind = Kind::Null;
    bool flag = false;
    /** Of a text or a number. */
    std::string text;
    std::vector<Json> list;
    /** Of a table, in the order of the document. */
    std::vector<std::string> names;
    std::vector<Json> values;

    const Json *find(const std::string &name) const
    {
        for (std::size_t n = 0; n < names.size(); ++n) {
            if (names[n] == name) {
                return &values[n];
            }
        }
        return nullptr;
    }

    std::string textOf(const std::string &name) const
    {
        const auto *it = find(name);
        return it == nullptr ? std::string() : it->text;
    }

    Json &operator[](const std::string &name)
    {
        for (std::size_t n = 0; n < names.size(); ++n) {
            if (names[n] == name) {
                return values[n];
            }
        }
        kind = Kind::Table;
        names.push_back(name);
        return values.emplace_back();
    }

    std::string dump() const;
};

inline std::string quoted(const std::string &text)
{
    std::string out = "\"";
    for (const char it : text) {
        if (it == '"' || it == '\\') {
            out += '\\';
            out += it;
        } else if (static_cast<unsigned char>(it) < ' ') {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", it);
            out += escaped;
        } else {
            out += it;
        }
    }
    return out + '"';
}

inline std::string Json::dump() const
{
    std::string out;
    switch (kind) {
    case Kind::Null:
        return "null";
    case Kind::Bool:
        return flag ? "true" : "false";
    case Kind::Number:
        return text;
    case Kind::Text:
        return quoted(text);
    case Kind::List:
        for (const auto &it : list) {
            out += (out.empty() ? "" : ",") + it.dump();
        }
        return "[" + out + "]";
    case Kind::Table:
        for (std::size_t n = 0; n < names.size(); ++n) {
            out += (out.empty() ? "" : ",") + quoted(names[n]) + ":" + values[n].dump();
        }
        return "{" + out + "}";
    }
    return out;
}

/** Parses the JSON that nodes and cases write. Throws std::runtime_error. */
class JsonParser
{
public:
    static Json parse(const std::string &text)
    {
        JsonParser parser(text);
        Json value = parser.value();
        parser.skip();
        if (parser.m_at != text.size()) {
            throw std::runtime_error("JSON: bytes after the value");
        }
        return value;
    }

private:
    explicit JsonParser(const std::string &text)
        : m_text(text)
    {
    }

    void skip()
    {
        while (m_at < m_text.size() && (m_text[m_at] == ' ' || m_text[m_at] == '\n' || m_text[m_at] == '\r' || m_text[m_at] == '\t')) {
            ++m_at;
        }
    }

    char peek()
    {
        skip();
        if (m_at >= m_text.size()) {
            throw std::runtime_error("JSON: the value ends early");
        }
        return m_text[m_at];
    }

    void expect(char it)
    {
        if (peek() != it) {
            throw std::runtime_error(std::string("JSON: expected ") + it);
        }
        ++m_at;
    }

    std::string string()
    {
        expect('"');
        std::string out;
        while (m_at < m_text.size() && m_text[m_at] != '"') {
            char it = m_text[m_at++];
            if (it == '\\' && m_at < m_text.size()) {
                it = m_text[m_at++];
                if (it == 'u') {
                    out += static_cast<char>(std::strtol(m_text.substr(m_at, 4).c_str(), nullptr, 16));
                    m_at += 4;
                    continue;
                }
                it = it == 'n' ? '\n' : it == 't' ? '\t' : it == 'r' ? '\r' : it;
            }
            out += it;
        }
        expect('"');
        return out;
    }

    Json value()
    {
        Json out;
        const char first = peek();
        if (first == '{') {
            out.kind = Json::Kind::Table;
            ++m_at;
            while (peek() != '}') {
                out.names.push_back(string());
                expect(':');
                out.values.push_back(value());
                if (peek() == ',') {
                    ++m_at;
                }
            }
            ++m_at;
        } else if (first == '[') {
            out.kind = Json::Kind::List;
            ++m_at;
            while (peek() != ']') {
                out.list.push_back(value());
                if (peek() == ',') {
                    ++m_at;
                }
            }
            ++m_at;
        } else if (first == '"') {
            out.kind = Json::Kind::Text;
            out.text = string();
        } else {
            const auto end = std::min(m_text.find_first_of(",]} \r\n\t", m_at), m_text.size());
            const std::string word = m_text.substr(m_at, end - m_at);
            m_at = end;
            out.kind = word == "true" || word == "false" ? Json::Kind::Bool : word == "null" ? Json::Kind::Null : Json::Kind::Number;
            out.flag = word == "true";
            out.text = word;
        }
        return out;
    }

    const std::string &m_text;
    std::size_t m_at = 0;
};

} // namespace Review
