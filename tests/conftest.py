"""Makes blocking calls of the tests cooperate with servers in other greenlets."""

from gevent import monkey

monkey.patch_all()
