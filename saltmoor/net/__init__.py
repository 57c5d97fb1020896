"""The node on sockets. Carries out what saltmoor.facade says; decides, repeats and times out nothing."""
