"""Replay of flight recordings: checks that the decision module still returns the recorded actions, and explains its
decisions about one request. The replay does not change the recording and executes no code from it."""
