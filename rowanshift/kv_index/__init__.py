"""What servers and stores keep of prompts."""
