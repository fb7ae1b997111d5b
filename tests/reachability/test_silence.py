"""Signs of a cut that come before anything has failed."""

from briarpond.reachability import SendProgress, find_silence


def test_connect_that_hangs_is_a_sign():
    silence = find_silence([SendProgress("s1", True, False, 9.8)], 10.0)
    assert silence.server == "s1" and silence.since == 9.8


def test_connect_that_has_just_begun_is_none():
    assert find_silence([SendProgress("s1", True, False, 9.95)], 10.0) is None


def test_streams_of_two_servers_that_are_all_silent_are_a_sign():
    sends = [SendProgress("s1", False, True, 9.6), SendProgress("s2", False, True, 9.65)]
    assert find_silence(sends, 10.0).since == 9.65


def test_streams_of_one_silent_server_are_none():
    sends = [SendProgress("s1", False, True, 9.0), SendProgress("s1", False, True, 9.0)]
    assert find_silence(sends, 10.0) is None


def test_silence_beside_a_server_that_goes_on_is_none():
    sends = [
        SendProgress("s1", False, True, 9.0),
        SendProgress("s2", False, True, 9.0),
        SendProgress("s3", False, True, 9.9),
    ]
    assert find_silence(sends, 10.0) is None


def test_servers_that_have_not_begun_to_answer_are_none():
    sends = [SendProgress(f"s{n}", False, False, 9.0) for n in range(3)]
    assert find_silence(sends, 10.0) is None
