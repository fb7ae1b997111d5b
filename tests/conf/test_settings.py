"""Settings: all problems are reported together, with code, path and hint."""

import subprocess
import sys

import yaml

from briarpond.conf import check_settings, load_settings

VALID_SETTINGS = {
    "node": "n1",
    "data_centre": "hobart-a",
    "region": "tas-south",
    "listen": {
        "callers": "127.0.0.1:7100",
        "operators": "127.0.0.1:7300",
        "peers": "127.0.0.1:7200",
    },
    "platform": {"log": "127.0.0.1:1", "instances": "127.0.0.1:2"},
    "peers": {"secret": "a secret of at least sixteen bytes"},
}


def _codes(tree):
    return {(problem.path, problem.code) for problem in check_settings(tree).error}


def test_valid_settings_are_accepted():
    assert check_settings(VALID_SETTINGS).ok.listen.callers.port == 7100


def test_all_invalid_keys_and_values_are_reported_together():
    tree = VALID_SETTINGS | {
        "node": "Not A Name",
        "listen": {"callers": "host:1", "operators": "127.0.0.1:99999", "peers": "127.0.0.1:1"},
        "colour": "green",
        "timing": {"probe_s": -1},
    }
    del tree["region"]
    assert _codes(tree) == {
        ("node", "conf.E004"),
        ("listen.callers", "conf.E004"),
        ("listen.operators", "conf.E004"),
        ("colour", "conf.E003"),
        ("timing.probe_s", "conf.E004"),
        ("region", "conf.E002"),
    }


def test_valid_values_that_contradict_each_other_are_reported():
    same = dict.fromkeys(("callers", "operators", "peers"), "127.0.0.1:7100")
    key = {"name": "ada", "key_sha256": "0" * 64}
    tree = VALID_SETTINGS | {
        "listen": same,
        "timing": {"probe_s": 2.0, "presence_ttl_s": 1.0, "node_gone_s": 1.0},
        "stop": {"entry_ttl_s": 10, "limit_s": 5},
        "operators": [key, key],
    }
    codes = {code for _, code in _codes(tree)}
    assert codes == {"conf.E005", "conf.E006", "conf.E007", "conf.E008", "conf.E009"}


# Guards against a room for bodies in which one large body keeps all others waiting.
def test_room_for_bodies_must_hold_several_of_the_largest():
    limits = {"request_bytes": 4_000_000, "body_bytes": 15_999_999}
    assert _codes(VALID_SETTINGS | {"limits": limits}) == {("limits.body_bytes", "conf.E010")}
    limits["body_bytes"] += 1
    assert check_settings(VALID_SETTINGS | {"limits": limits}).is_ok()


def test_missing_and_malformed_files_are_reported(tmp_path):
    assert load_settings(tmp_path / "none.yaml").error[0].code == "conf.E001"
    broken = tmp_path / "broken.yaml"
    broken.write_text("a: [")
    assert load_settings(broken).error[0].code == "conf.E001"
    broken.write_text("just text")
    assert load_settings(broken).is_error()


def test_check_command_and_daemon_report_the_same_problems(tmp_path):
    """Settings that the command accepts must not be refused when the daemon starts."""
    path = tmp_path / "n1.yaml"
    path.write_text(yaml.safe_dump(VALID_SETTINGS | {"colour": "green"}))
    outputs = []
    for command in (["briarpond.management", "check"], ["briarpond.daemon"]):
        done = subprocess.run(
            [sys.executable, "-m", *command, str(path)], capture_output=True, text=True, check=False
        )
        assert done.returncode == 78
        outputs.append(done.stderr.strip())
    assert outputs[0] == outputs[1]
    assert "colour: (conf.E003)" in outputs[0]
