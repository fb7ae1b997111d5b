"""The documentation agrees with the code: examples run, and the reference pages are complete.

Further tests check the boundaries between packages and the list of requirements.
"""

import re
from pathlib import Path

import pytest
from pydantic import BaseModel

from briarpond.conf import Settings
from briarpond.configuration import Document
from briarpond.gateway._metrics import GatewayMetrics
from briarpond.management._cli import command_line
from briarpond.metrics import Metrics
from briarpond.requests import RefusalCode

ROOT = Path(__file__).resolve().parents[1]
DOCS = ROOT / "docs"
BLOCKS = re.findall(r"```python\n(.*?)```", (DOCS / "topics/embedding.md").read_text(), re.DOTALL)


@pytest.mark.parametrize("block", BLOCKS)
def test_examples_run(block):
    exec(compile(block, "embedding.md", "exec"), {})


def _leaves(model: type[BaseModel]) -> set[str]:
    """Return the names of all keys of a model that hold values, also those of nested models."""
    names = set()
    for name, field in model.model_fields.items():
        value_type = field.annotation
        nested = [
            argument
            for argument in (value_type, *getattr(value_type, "__args__", ()))
            if isinstance(argument, type) and issubclass(argument, BaseModel)
        ]
        names |= _leaves(nested[0]) if nested else {name}
    return names


@pytest.mark.parametrize(("model", "page"), [(Settings, "settings"), (Document, "configuration")])
def test_every_key_is_in_the_reference(model, page):
    text = (DOCS / f"ref/{page}.md").read_text()
    assert [name for name in _leaves(model) if not re.search(rf"\b{name}\b", text)] == []


def test_every_metric_is_in_the_reference():
    text = (DOCS / "ref/metrics.md").read_text()
    names = [collector.name for collector in Metrics().registry.get_all()]
    assert len(names) > 10
    assert [name for name in names if f"`{name}`" not in text] == []


def test_every_refusal_code_is_in_the_reference():
    text = (DOCS / "ref/http.md").read_text()
    assert [code.value for code in RefusalCode if f"`{code.value}`" not in text] == []


def test_every_command_is_in_the_reference():
    text = (DOCS / "ref/commands.md").read_text()
    names = [name for name in command_line if not name.startswith("-")]
    assert "patch" in names
    assert [name for name in names if f"`{name}" not in text] == []


def test_every_log_event_is_in_the_reference():
    text = (DOCS / "ref/log-events.md").read_text()
    source = "".join(path.read_text() for path in (ROOT / "briarpond/daemon").glob("*.py"))
    pattern = r"(?:log_event|log_warning|log_fatal_event|emit)\(\s*\"([a-z_]+)\""
    names = set(re.findall(pattern, source))
    assert "node_start" in names
    assert [name for name in names if f"`{name}`" not in text] == []


def test_every_metric_of_the_gateway_is_in_the_reference():
    text = (DOCS / "ref/gateway.md").read_text()
    names = [collector.name for collector in GatewayMetrics().registry.get_all()]
    assert len(names) > 5
    assert [name for name in names if f"`{name}`" not in text] == []


def test_every_log_event_of_the_gateway_is_in_the_reference():
    text = (DOCS / "ref/gateway.md").read_text()
    source = "".join(path.read_text() for path in (ROOT / "briarpond/gateway").glob("*.py"))
    names = set(re.findall(r"log_(?:event|warning|fatal_event)\(\s*\"([a-z_]+)\"", source))
    assert "request" in names
    assert [name for name in names if f"`{name}`" not in text] == []


def test_every_settings_problem_of_the_gateway_is_in_the_reference():
    text = (DOCS / "ref/gateway.md").read_text()
    source = (ROOT / "briarpond/platform/_settings.py").read_text()
    codes = set(re.findall(r"gateway\.E\d+", source))
    assert codes and [code for code in codes if f"`{code}`" not in text] == []


def test_only_the_adapter_knows_the_names_of_the_platform():
    """Names of the platform's interfaces occur in `briarpond/platform` only."""
    names = re.compile(
        r"X-Briarpond-|x-briarpond-|kvUsed|pathPrefix|gapGoalMs|log-append|log-newest"
        r"|coldLeftMs|coldPerS|coldStartS|coldOverage|coldSlack"
        r"|keyed\.(op|servers|status)|formMs|BRIARPOND_SETTINGS|closeMode"
    )
    files_with_names = [
        str(path.relative_to(ROOT))
        for path in (ROOT / "briarpond").rglob("*.py")
        if "platform" not in path.relative_to(ROOT / "briarpond").parts
        and names.search(path.read_text())
    ]
    assert files_with_names == []


DECIDING = ("routes", "fleet", "placement", "dispatch", "directory")


@pytest.mark.parametrize("package", DECIDING)
def test_packages_that_decide_know_no_face(package):
    """Packages with decision logic do not import packages with external interfaces."""
    interface_packages = re.compile(r"briarpond\.(gateway|daemon|platform|ports)")
    for path in (ROOT / "briarpond" / package).rglob("*.py"):
        assert not interface_packages.search(path.read_text()), path


def test_requirements_of_the_deployment_are_those_of_the_project():
    project = (ROOT / "pyproject.toml").read_text()
    for line in (ROOT / "requirements.txt").read_text().split():
        assert f'"{line}"' in project


def test_links_lead_somewhere():
    """Every relative link in the documentation points to an existing file."""
    broken = []
    for page in [*DOCS.rglob("*.md"), ROOT / "README.md"]:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            if not (page.parent / target).exists():
                broken.append(f"{page.relative_to(ROOT)}: {target}")
    assert broken == []
