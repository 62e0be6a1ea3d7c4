"""Property test of ``apply`` under races, lost responses and outages."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almondshore.versions.publish import Publisher
from test.ui.tooltest import RULES, ScriptedPlatform, ToolTest

SETTINGS = settings(deadline=None, derandomize=True, database=None, max_examples=60)
writes = st.sets(st.integers(1, 16), max_size=6)
# In each round two operators apply once; the second does so before or after a write of the first.
race = st.tuples(writes, writes, st.sampled_from(("before", "after")), st.integers(0, 8))


class ApplyRacesTest(ToolTest):
    @SETTINGS
    @given(st.lists(race, min_size=1, max_size=4))
    def test_each_success_is_one_version_and_each_refusal_none(self, script):
        """Guards against lost, duplicate or overwritten versions, and false reports of success."""
        self.store.objects.clear()
        self.results = {}
        for number, (lost, down, when, write_number) in enumerate(script):
            platform = ScriptedPlatform(store=self.store)
            platform.lost, platform.down = set(lost), set(down)
            second_apply = self.make_apply(f"b{number}", self.platform)
            getattr(platform, when)[write_number] = second_apply
            self.make_apply(f"a{number}", platform)()
        published_authors = self.published_authors()
        for author, (code, _, err) in self.results.items():
            if code == 0:
                self.assertEqual(1, published_authors.count(author))
            elif "not known" in err:
                self.assertIn(published_authors.count(author), (0, 1))
            else:
                self.assertNotIn(author, published_authors)

    def make_apply(self, author, platform):
        def apply():
            self.results[author] = self.apply(self.text(author), author, platform=platform)

        return apply

    def text(self, author):
        return RULES.replace("bakery-12", f"bakery-{author}")

    def published_authors(self):
        """Return the author of each version; check that its rules and parts are the author's."""
        publisher = Publisher(platform=self.platform)
        authors = []
        for version in range(1, publisher.current().unwrap().head.version + 1):
            author = publisher.record(version).unwrap().author
            self.assertEqual(self.text(author).encode(), publisher.rules_text(version).unwrap())
            self.assertIn(f"tenant/bakery-{author}", publisher.parts(version).unwrap())
            authors.append(author)
        return authors
