/*
 * Unit tests of JSON arrays with malformed elements.
 */
#include "request/JsonElements.h"
#include "Fuzzing.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using internal::findRawString;
using internal::parseElements;

TEST_CASE("JSON elements: a malformed element spoils none of the others")
{
    const std::vector<std::string> malformed = {"\"\xff\"",
                                                R"("\ud800")",
                                                R"({"a":"\udc00","b":[1,{"c":"]}"}]})",
                                                "nothing",
                                                "",
                                                "1 2",
                                                "1e999",
                                                "{1:2}",
                                                "[1,]",
                                                "[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]",
                                                "\"a\nb\""};
    for (const std::string &text : malformed) {
        INFO(text);
        const auto list = parseElements(R"( { "a" : [1], "list": [ {"x":"[{,"} ,)" + text + R"(, "last" ], "b":"\"]" } )", "list");
        REQUIRE(list);
        REQUIRE(list->elements.size() == 3);
        CHECK(list->elements[0].value == internal::Json{{"x", "[{,"}});
        CHECK(list->elements[1].value.is_discarded());
        CHECK(list->elements[1].text == text);
        CHECK(list->elements[2].value == "last");
        CHECK(list->object == internal::Json{{"a", {1}}, {"b", "\"]"}, {"list", internal::Json::array()}});
    }
}

TEST_CASE("JSON elements: a response that is malformed outside of its elements is refused")
{
    for (const char *text : {"",
                             "7",
                             "[]",
                             "{}",
                             "null",
                             R"({"list":7})",
                             R"({"list":{}})",
                             R"({"list":[nothing})",
                             R"({"list":[nothing]}])",
                             R"({"list":[nothing]},)",
                             R"({"list":[nothing]}{})",
                             R"([{"list":[nothing]}])",
                             R"({"list":[nothing],"a":\ud800})",
                             R"({"list":[nothing],"a":"\ud800"})",
                             R"({"list":[nothing],a:1})",
                             R"({"list":[nothing],"a")",
                             R"({"list":["nothing],"a":1})",
                             R"({"list" [nothing],"a":1})"}) {
        INFO(text);
        CHECK_FALSE(parseElements(text, "list"));
    }
}

TEST_CASE("JSON elements: a raw string has the bytes that were sent")
{
    const auto find
        = [](const std::string &value) { return findRawString(R"( {"a":{"key":"inner"}, "key" : )" + value + R"(, "b":nothing})", "key"); };
    CHECK(find(R"("a/b\/\"\\\n\t\r\f\b")") == "a/b/\"\\\n\t\r\f\b");
    CHECK(find(R"("\u0041\u00e9\u20ac\ud83d\ude00")") == "A\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
    CHECK(find(R"("\ud800")") == "\xed\xa0\x80");
    CHECK(find(R"("\udc00\ud800x")") == "\xed\xb0\x80\xed\xa0\x80x");
    CHECK(find("\"\xff\xc3\"") == "\xff\xc3");
    CHECK(find("\"a\nb\"") == "a\nb");
    for (const char *value : {"7", "null", "[\"key\"]", R"("\x")", R"("\u12")", R"("\u12g4")", R"("a" "b")", "\"a"}) {
        INFO(value);
        CHECK_FALSE(find(value));
    }
    CHECK_FALSE(findRawString("[\"key\"]", "key"));
    CHECK_FALSE(findRawString("", "key"));
    CHECK(findRawString(R"({"\u006bey":"a"})", "key") == "a");
}

// What the strict parser accepts is read as by it; other text is refused or has elements that are malformed.
TEST_CASE("JSON elements: mutated text is refused or read", "[fuzz]")
{
    const std::string good = R"({"list":[{"key":"a\u00e9","b":[1,"\"]"]},7,"x"],"revision":9,"more":{"c":[]}})";
    fuzz(good, 46, [](const std::string &text) {
        const auto list = parseElements(text, "list");
        if (const auto strict = internal::parseObject(text)) {
            CHECK(list.has_value() == (strict->contains("list") && strict->at("list").is_array()));
            return;
        }
        if (!list) {
            return;
        }
        CHECK(list->object.at("list").empty());
        for (const internal::JsonElement &element : list->elements) {
            findRawString(element.text, "key");
            CHECK((element.value.is_discarded() || element.text.empty()));
        }
    });
}
