"""Names of the platform's headers, request paths and kinds of objects."""

REQUEST_ID = b"Attempt-Id"
# Milliseconds that the sender still waits; despite its name, not a point in time.
TIME_LEFT = b"Deadline-Ms"
SIGNATURE = b"Response-Signature"
EXPECTED_TARGET = b"Expected-Instance"
TARGET_ID = b"Instance-Id"
NOT_RUN = b"Not-Executed"
RETRY_AFTER = b"Retry-After"
# Requests per second that a target takes from all hosts together, as a decimal number.
RATE_LIMIT = b"Server-Limit"
# Its value is 1 in the responses of a target that leaves.
LEAVING = b"Server-Leaving"
# Milliseconds for which a target stays cold, in the responses to health checks.
WARMUP = b"Warmup-Ms"
CALLER = b"Caller-Service"
# The tenant that holds the caller's key, set by the node.
TENANT = b"Tenant"
KEY = b"Authorization"
# Scheme of a key in that header.
KEY_SCHEME = b"token"
# Era of the store in its responses, which increases each time it is restored from a copy.
STORE_ERA = b"Store-Era"

HEARTBEAT_PATH = "/Instances.Heartbeat/"
DEREGISTER_PATH = "/Instances.Deregister/"
OBJECTS_PATH = "/objects/"

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ROLLOUT_KIND = "rollouts"
EVACUATION_KIND = "evacuations"
# Kinds that almondshore defines; the others belong to the operator.
TARGET_KIND = "almondshore-targets"
DEATH_KIND = "almondshore-deaths"
