#pragma once

#include "json.h"

namespace Review
{

/** Fills in a template of the deploy file as the platform's page on deployment says: values, sections, inverted sections. */
class SettingsTemplate
{
public:
    static std::string render(const std::string &text, const Json &settings)
    {
        SettingsTemplate it;
        it.m_scopes.push_back({ &settings, {}, true });
        return it.renderPart(text);
    }

private:
    struct Scope {
        const Json *value = nullptr;
        /** Key or index of the current entry. */
        std::string key;
        bool isLast = true;
    };

    const Json *lookUp(const std::string &path) const
    {
        if (path == ".") {
            return m_scopes.back().value;
        }
        for (auto scope = m_scopes.rbegin(); scope != m_scopes.rend(); ++scope) {
            const Json *value = scope->value;
            std::size_t start = 0;
            while (value != nullptr && start <= path.size()) {
                const auto end = std::min(path.find('.', start), path.size());
                const std::string name = path.substr(start, end - start);
                if (value->kind == Json::Kind::List) {
                    const auto index = static_cast<std::size_t>(std::atoi(name.c_str()));
                    value = index < value->list.size() ? &value->list[index] : nullptr;
                } else {
                    value = value->find(name);
                }
                start = end + 1;
            }
            if (value != nullptr) {
                return value;
            }
        }
        return nullptr;
    }

    static bool isTrue(const Json *value)
    {
        return value != nullptr && value->kind != Json::Kind::Null && !(value->kind == Json::Kind::Bool && !value->flag);
    }

    static std::string plain(const Json &value)
    {
        if (value.kind == Json::Kind::Text) {
            return value.text;
        }
        if (value.kind != Json::Kind::List) {
            return value.kind == Json::Kind::Null ? std::string() : value.dump();
        }
        std::string out;
        for (const auto &it : value.list) {
            out += (out.empty() ? "" : ",") + plain(it);
        }
        return out;
    }

    std::string valueOf(std::string name) const
    {
        if (name == "@") {
            return m_scopes.back().key;
        }
        if (name == ",") {
            return m_scopes.back().isLast ? "" : ",";
        }
        const auto filter = name.find('|');
        const bool asJson = filter != std::string::npos && name.substr(filter + 1) == "json";
        const Json *value = lookUp(name.substr(0, filter));
        if (value == nullptr || value->kind == Json::Kind::Null) {
            return {};
        }
        return asJson ? value->dump() : plain(*value);
    }

    std::string renderSection(const std::string &name, const std::string &body)
    {
        const Json *value = lookUp(name);
        if (!isTrue(value)) {
            return {};
        }
        std::vector<Scope> entries;
        if (value->kind == Json::Kind::List) {
            for (std::size_t n = 0; n < value->list.size(); ++n) {
                entries.push_back({ &value->list[n], std::to_string(n), n + 1 == value->list.size() });
            }
        } else if (value->kind == Json::Kind::Table) {
            for (std::size_t n = 0; n < value->names.size(); ++n) {
                entries.push_back({ &value->values[n], value->names[n], n + 1 == value->names.size() });
            }
        } else {
            entries.push_back({ value, {}, true });
        }
        std::string out;
        for (const auto &it : entries) {
            m_scopes.push_back(it);
            out += renderPart(body);
            m_scopes.pop_back();
        }
        return out;
    }

    std::string renderPart(const std::string &text)
    {
        std::string out;
        std::size_t at = 0;
        while (true) {
            const auto open = text.find("{{", at);
            if (open == std::string::npos) {
                return out + text.substr(at);
            }
            out += text.substr(at, open - at);
            const auto close = text.find("}}", open);
            const std::string tag = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (tag.front() != '#' && tag.front() != '^') {
                out += valueOf(tag);
                continue;
            }
            const std::string name = tag.substr(1);
            const std::string endTag = "{{/" + name + "}}";
            const auto end = text.find(endTag, at);
            if (end == std::string::npos) {
                throw std::runtime_error("template: no end of section " + name);
            }
            const std::string body = text.substr(at, end - at);
            out += tag.front() == '#' ? renderSection(name, body) : isTrue(lookUp(name)) ? std::string() : renderPart(body);
            at = end + endTag.size();
        }
    }

    std::vector<Scope> m_scopes;
};

} // namespace Review
