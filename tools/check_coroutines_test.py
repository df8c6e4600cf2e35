#!/usr/bin/env python3
"""Tests of check_coroutines.py."""
import sys
import unittest

sys.dont_write_bytecode = True  # keeps the source folder clean

from check_coroutines import faults_of


class FaultsOf(unittest.TestCase):
    def test_finds_braced_arguments(self):
        for text in (
            "co_await Send({ 1, 2 });",
            "co_await Send(Request{ 1 }, 2);",
            "const int n = co_await a->b(c[0], std::move(x), Pair{});",
            "if (!co_await Send({ 1 })) {\n}",
            "co_await asio::async_write(s, b, Token{})(x);",
            "co_await Run([x = Thing{ 1 }] { return x; });",
            "co_await Send(n == 1'000 ? A{} : b);",
            "co_await Request{ 1 }.Send();",
            'co_await Send("a//b", { 1 });',
            'co_await Send(R"x(")x", { 1 });',
        ):
            with self.subTest(text):
                self.assertEqual([1], faults_of(text))

    def test_reports_the_line_of_the_brace(self):
        self.assertEqual([3], faults_of("int a{};\nco_await Send(a,\n  { 1 });"))

    def test_passes_values_named_before(self):
        for text in (
            "const Request r{ 1 };\nco_await Send(r);\nconst Request s{ 2 };",
            "co_await Send(r); // like Send({ 1 })",
            "co_await Send(/* { */ r);",
            'co_await Send("{", \'{\', R"({})");',
            "if (co_await Send(r)) {\n  return;\n}",
            "while (co_await Next() && b) {\n}",
            "Call({ 1 }, co_await Send(r), { 2 });",
            "co_return co_await Send(r);\n}\nint b{ 1 };",
        ):
            with self.subTest(text):
                self.assertEqual([], faults_of(text))

    def test_passes_the_body_of_a_lambda_but_not_its_awaits(self):
        self.assertEqual([], faults_of("co_await Run([&](int a) mutable -> Task<int> { Pair p{ 1 }; f(p); });"))
        self.assertEqual([], faults_of("co_await Run([this] { return Pair{ 1 }; }, n);"))
        self.assertEqual([], faults_of("co_await Run([]<class T>(T a) { return Pair{ a }; }, n);"))
        self.assertEqual([2], faults_of("co_await Run([this] {\n  co_await Send({ 1 });\n});"))
        self.assertEqual([1], faults_of("co_await Run([this] { f(); }, { 1 });"))


if __name__ == "__main__":
    unittest.main()
